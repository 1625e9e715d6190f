import type { BackEnds } from "../door/backEnds.js";

/** Where no back end listens. */
export const noBackEnds: BackEnds = {
  *send() {
    return "refused";
  },
  keepOnly: () => undefined,
  close: () => undefined,
};
