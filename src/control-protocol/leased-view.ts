/** The view of the cluster under a lease, which is the leader's response to a daemon's watch request. */
import {
  array,
  create,
  define,
  literal,
  number,
  object,
  optional,
  string,
  union,
  type Infer,
} from "superstruct";
import { configShape } from "../configuration/config-shape.js";
import type { Config } from "../configuration/config.js";
import { Validated } from "../configuration/validated.js";
import { fastValidator } from "../runtime/fast-validator.js";
import { TextCompression } from "../runtime/text-compression.js";
import { type Registration, areRegistrations } from "../state/registration.js";
import { edgePlacementShape } from "./edge-placement.js";

/** The ids of services and routes by their names. */
const idsShape = define<Record<string, number>>(
  "numbers",
  (value) =>
    typeof value === "object" &&
    value !== null &&
    Object.values(value).every((id) => typeof id === "number"),
);

/** The shape of a configuration update; its field names are part of the protocol. */
const configUpdateShape = object({
  /** The sequence of the configuration that the update applies to. */
  base: number(),
  /** Items that are replaced or new. */
  put: define<Config>("items of a config", (value) => Validated.accepts(configShape, value)),
  /** The keys of removed items; they are removed before the other items are put. */
  removed: array(string()),
  /** The new and changed ids of services and routes. */
  numbers: idsShape,
});

/** The changed items of the configuration. */
export type ConfigUpdate = Infer<typeof configUpdateShape>;

const registrationsShape = define<Registration[]>("directory", areRegistrations);

const peersShape = object({
  digest: string(),
  collectors: array(object({ zone: string(), peer: string() })),
  /** The members of the replicated log. */
  recorders: array(string()),
  /** The admin addresses of the followers. */
  operators: optional(array(string())),
});

/** The addresses of the collectors and of the members of the replicated log. */
export type ControlPlanePeers = Infer<typeof peersShape>;

/** The shape of a view; its field names are part of the protocol. */
const viewShape = object({
  granted: literal(true),
  /** The duration of the lease, in milliseconds. */
  grantMs: number(),
  /** The interval of backends' heartbeats, in milliseconds. */
  announceMs: optional(number()),
  configSequence: number(),
  /** The complete configuration, as JSON. */
  config: optional(string()),
  /** The complete configuration, compressed; used where it is long. */
  packedConfig: optional(string()),
  /** The changes since the daemon's configuration; a long update is compressed. */
  configChanges: optional(configUpdateShape),
  packedConfigChanges: optional(string()),
  /** The digest of the daemon's configuration after this view. */
  configDigest: optional(string()),
  /** The ids of the services and routes of a complete configuration. */
  numbers: optional(idsShape),
  directorySequence: number(),
  /** All registrations; a long list is compressed. */
  directory: optional(registrationsShape),
  packedDirectory: optional(string()),
  /** The changes since the sequence `base`: the changed registrations, and the addresses of the removed ones. */
  directoryChanges: optional(
    object({ base: number(), put: registrationsShape, removed: array(string()) }),
  ),
  /** The digest of the daemon's registrations after this view. */
  directoryDigest: optional(string()),
  /** The number of the allocation of retry capacities. */
  grantNumber: string(),
  /** The retry capacities; omitted where the watch request named this allocation. */
  capacities: optional(array(object({ service: string(), capacity: number() }))),
  /** The control plane's members; omitted where the watch request named their digest. */
  members: optional(peersShape),
  /** The placement of the edge that sent the request; omitted until the leader has had a request from every edge. */
  place: optional(edgePlacementShape),
});

/** A view of the cluster, with the lease that permits serving requests by it. */
export type LeasedView = Infer<typeof viewShape>;

const responseShape = union([viewShape, object({ granted: literal(false), why: string() })]);

/** The response to a watch request: a view, or the reason for its refusal. */
export type WatchResponse = Infer<typeof responseShape>;

const validateView = fastValidator(viewShape);
const validateConfigUpdate = fastValidator(configUpdateShape);
const validateRegistrations = fastValidator(registrationsShape);

/** Decompresses the registrations of a view, if they are compressed. */
const withRegistrations = (view: LeasedView): LeasedView =>
  view.packedDirectory === undefined
    ? view
    : {
        ...view,
        directory: validateRegistrations(
          JSON.parse(TextCompression.decompress(view.packedDirectory)),
        ),
      };

/** Decodes the response to a watch request. */
export const readWatchResponse = (text: string): WatchResponse => {
  const value: unknown = JSON.parse(text);
  const isView =
    typeof value === "object" && value !== null && "granted" in value && value.granted === true;
  return isView ? withRegistrations(validateView(value)) : create(value, responseShape);
};

/** The configuration update in a view, if there is one. */
export const readConfigUpdate = ({
  configChanges,
  packedConfigChanges,
}: LeasedView): ConfigUpdate | undefined =>
  packedConfigChanges === undefined
    ? configChanges
    : validateConfigUpdate(JSON.parse(TextCompression.decompress(packedConfigChanges)));
