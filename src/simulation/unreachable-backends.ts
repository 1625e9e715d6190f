import type { BackendClient } from "../proxy/upstream/backend-client.js";

/** Where no back end listens. */
export const unreachableBackends: BackendClient = {
  *send() {
    return "refused";
  },
  retainPools: () => undefined,
  close: () => undefined,
};
