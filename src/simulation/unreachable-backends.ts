import { openFailure, type BackendClient } from "../proxy/upstream/backend-client.js";

/** A backend client in whose network no backend listens: every connection is refused. */
export const unreachableBackends: BackendClient = {
  *send() {
    return openFailure("refused");
  },
  retainPools: () => undefined,
  close: () => undefined,
};
