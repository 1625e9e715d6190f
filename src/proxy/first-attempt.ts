/** Tells a client's first attempt at a request from its retries. */
import type { ActiveRoute } from "../cluster-view/active-route.js";

/** A client that has less than this part of its route's time left has tried before. */
const FIRST_ATTEMPT_FRACTION = 0.8;

/** Whether a client that gives this much time can't have tried before; it still has time to retry elsewhere. */
export const isFirstAttempt = (givenMs: number, { timeoutMs: giveUpMs }: ActiveRoute): boolean =>
  givenMs >= giveUpMs * FIRST_ATTEMPT_FRACTION;
