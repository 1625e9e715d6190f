/** Watch requests, by which daemons renew their leases and get updates from the leader. */
import { array, boolean, number, object, optional, string, type Infer } from "superstruct";
import { fastValidator } from "../runtime/fast-validator.js";
import { readConfigUpdate, readWatchResponse } from "./leased-view.js";

const daemonInfoShape = object({
  name: string(),
  zone: string(),
  roles: array(string()),
  /** The address at which peers reach it. */
  peer: string(),
  /** Identifies one run of the daemon's process. */
  incarnation: string(),
  draining: boolean(),
  /** The address of its admin API. */
  operators: optional(string()),
});

/** A daemon as it identifies itself to the cluster. */
export type DaemonInfo = Infer<typeof daemonInfoShape>;

/** The shape of a watch request; its field names are part of the protocol. */
const watchRequestShape = object({
  machine: daemonInfoShape,
  /** The sequence of the daemon's configuration. */
  configSequence: number(),
  /** The sequence of the daemon's registrations. */
  directorySequence: number(),
  /** The number of the daemon's newest allocation of retry capacities, and those capacities. */
  grantNumber: string(),
  capacities: array(object({ service: string(), capacity: number() })),
  /** The demand for retries by service; services without demand are omitted. */
  wished: array(object({ service: string(), count: number() })),
  /** The digest of the control plane's members that the daemon knows. */
  membersDigest: optional(string()),
  /** Registrations whose backends refused a connection. */
  refused: array(object({ address: string(), number: number() })),
  /** Registrations whose backends sent heartbeats to the daemon since its last request, each with its newest sequence. */
  heard: optional(array(object({ number: number(), order: number() }))),
});

/** A daemon's request for a new view. */
export type WatchRequest = Infer<typeof watchRequestShape>;

const validateRequest = fastValidator(watchRequestShape);

/** Decodes a watch request. */
export const readWatchRequest = (text: string): WatchRequest => validateRequest(JSON.parse(text));

/** The configuration update in a view, if there is one. */
export const configUpdateIn = readConfigUpdate;

/** Decodes the response to a watch request. */
export const readLeasedView = readWatchResponse;
