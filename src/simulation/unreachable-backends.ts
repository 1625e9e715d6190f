import { openFailure, type BackendClient } from "../proxy/upstream/backend-client.js";

/** Where no back end listens. */
export const unreachableBackends: BackendClient = {
  *send() {
    return openFailure("refused");
  },
  retainPools: () => undefined,
  close: () => undefined,
};
