import type { BackEnds } from "../proxy/upstream/backend-client.js";

/** Where no back end listens. */
export const noBackEnds: BackEnds = {
  *send() {
    return "refused";
  },
  keepOnly: () => undefined,
  close: () => undefined,
};
