/** The view of the cluster that a daemon gets under a lease: the response to a watch request. */
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

/** The shape of an update of the configuration; its field names travel. */
const configUpdateShape = object({
  /** The sequence of the configuration that the update applies to. */
  base: number(),
  /** Items that are replaced or new. */
  put: define<Config>("items of a config", (value) => Validated.accepts(configShape, value)),
  /** The keys of items that were removed; they are removed before the others are put. */
  removed: array(string()),
  /** The ids of services and routes that are new or have changed. */
  numbers: idsShape,
});

/** What changed in the configuration, by item. */
export type ConfigUpdate = Infer<typeof configUpdateShape>;

const registrationsShape = define<Registration[]>("directory", areRegistrations);

const peersShape = object({
  digest: string(),
  collectors: array(object({ zone: string(), peer: string() })),
  /** The members of the replicated log. */
  recorders: array(string()),
  /** Where members of the replicated log that don't lead serve operators. */
  operators: optional(array(string())),
});

/** The control plane's collectors and members of the replicated log, as daemons reach them. */
export type ControlPlanePeers = Infer<typeof peersShape>;

/** The shape of a view; its field names travel. */
const viewShape = object({
  granted: literal(true),
  /** The duration of the lease, in milliseconds. */
  grantMs: number(),
  /** The interval of backends' heartbeats, in milliseconds. */
  announceMs: optional(number()),
  configSequence: number(),
  /** The whole configuration, as JSON. */
  config: optional(string()),
  /** The same, compressed where it is long. */
  packedConfig: optional(string()),
  /** What changed since the configuration that the daemon has; compressed where it is long. */
  configChanges: optional(configUpdateShape),
  packedConfigChanges: optional(string()),
  /** The digest of the daemon's configuration after this view. */
  configDigest: optional(string()),
  /** The ids of the services and routes of a whole configuration. */
  numbers: optional(idsShape),
  directorySequence: number(),
  /** All registrations; compressed where they are long. */
  directory: optional(registrationsShape),
  packedDirectory: optional(string()),
  /** What changed since the registrations under `base`: the changed ones, and the addresses of removed ones. */
  directoryChanges: optional(
    object({ base: number(), put: registrationsShape, removed: array(string()) }),
  ),
  /** The digest of the daemon's registrations after this view. */
  directoryDigest: optional(string()),
  /** The number of the allocation of retry capacities. */
  grantNumber: string(),
  /** The retry capacities; left out where the watch request named this allocation. */
  capacities: optional(array(object({ service: string(), capacity: number() }))),
  /** The control plane's members; left out where the watch request named their digest. */
  members: optional(peersShape),
  /** The placement of the edge that sent the request; left out until the leader has seen all edges. */
  place: optional(edgePlacementShape),
});

/** A view of the cluster with the lease to serve under it. */
export type LeasedView = Infer<typeof viewShape>;

const responseShape = union([viewShape, object({ granted: literal(false), why: string() })]);

/** The response to a watch request: a view, or why there is none. */
export type WatchResponse = Infer<typeof responseShape>;

const validateView = fastValidator(viewShape);
const validateConfigUpdate = fastValidator(configUpdateShape);
const validateRegistrations = fastValidator(registrationsShape);

/** The view with its registrations decompressed, where they are compressed. */
const withRegistrations = (view: LeasedView): LeasedView =>
  view.packedDirectory === undefined
    ? view
    : {
        ...view,
        directory: validateRegistrations(
          JSON.parse(TextCompression.decompress(view.packedDirectory)),
        ),
      };

/** Reads the text of the response to a watch request. */
export const readWatchResponse = (text: string): WatchResponse => {
  const value: unknown = JSON.parse(text);
  const isView =
    typeof value === "object" && value !== null && "granted" in value && value.granted === true;
  return isView ? withRegistrations(validateView(value)) : create(value, responseShape);
};

/** The update of the configuration in a view, if there is one. */
export const readConfigUpdate = ({
  configChanges,
  packedConfigChanges,
}: LeasedView): ConfigUpdate | undefined =>
  packedConfigChanges === undefined
    ? configChanges
    : validateConfigUpdate(JSON.parse(TextCompression.decompress(packedConfigChanges)));
