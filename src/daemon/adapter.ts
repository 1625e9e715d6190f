import type { Dialect } from "../proxy/header-names.js";
import type { Job } from "../proxy/proxy-request.js";
import type { Return } from "../proxy/request-outcome.js";

/** A request in the product's own words, and the way back to those of whoever sent it. */
export interface Translated {
  readonly job: Job;
  back(ret: Return): Return;
}

/** Where the product meets a platform that has words of its own; it translates and decides nothing. */
export interface Adapter {
  /** The headers of callers and back ends. */
  readonly dialect: Dialect;
  /** What operators, back ends and whoever asks for readiness say; a return where it can't be understood. */
  readonly control: { into(job: Job): Translated | Return };
}
