/** Watch requests: what daemons send to the leader to renew their leases and to get updates. */
import { array, boolean, number, object, optional, string, type Infer } from "superstruct";
import { fastValidator } from "../runtime/fast-validator.js";
import { readConfigUpdate, readWatchResponse } from "./leased-view.js";

const daemonInfoShape = object({
  name: string(),
  zone: string(),
  roles: array(string()),
  /** The address at which peers reach it. */
  peer: string(),
  /** One life of the daemon. */
  incarnation: string(),
  draining: boolean(),
  /** The address at which it serves operators. */
  operators: optional(string()),
});

/** A daemon as it identifies itself to the cluster. */
export type DaemonInfo = Infer<typeof daemonInfoShape>;

/** The shape of a watch request; its field names travel. */
const watchRequestShape = object({
  machine: daemonInfoShape,
  /** The sequence of the configuration that the daemon has. */
  configSequence: number(),
  /** The sequence of the registrations that the daemon has. */
  directorySequence: number(),
  /** The number of the newest allocation of retry capacities that the daemon has, and those capacities. */
  grantNumber: string(),
  capacities: array(object({ service: string(), capacity: number() })),
  /** The demand for retries by service; services without any are left out. */
  wished: array(object({ service: string(), count: number() })),
  /** The digest of the control plane's members that the daemon has. */
  membersDigest: optional(string()),
  /** Registrations whose address refused a connection. */
  refused: array(object({ address: string(), number: number() })),
  /** Registrations whose backends sent heartbeats here since the last request, with the newest sequence of each. */
  heard: optional(array(object({ number: number(), order: number() }))),
});

/** What a daemon sends to get a new view. */
export type WatchRequest = Infer<typeof watchRequestShape>;

const validateRequest = fastValidator(watchRequestShape);

/** Reads the text of a watch request. */
export const readWatchRequest = (text: string): WatchRequest => validateRequest(JSON.parse(text));

/** The update of the configuration in a view, if there is one. */
export const configUpdateIn = readConfigUpdate;

/** Reads the text of the response to a watch request. */
export const readLeasedView = readWatchResponse;
