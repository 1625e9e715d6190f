/** Finds a free port of this machine for a test's server. */
import { createServer } from "node:net";

/** Resolves to a port of 127.0.0.1 that is free now. */
export const freePort = (): Promise<number> =>
  new Promise((done, fail) => {
    const probe = createServer().listen(0, "127.0.0.1", () => {
      const bound = probe.address();
      probe.close(() => done(bound !== null && typeof bound === "object" ? bound.port : 0));
    });
    probe.once("error", fail);
  });
