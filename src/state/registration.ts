/** Registrations of backends, with their shape in storage and in messages. */
import { boolean, defaulted, number, object, string, type Infer } from "superstruct";

/** The stored shape of a registration. */
export const registrationShape = object({
  address: string(),
  service: string(),
  zone: string(),
  warmth: number(),
  /** The index of the log entry that created this registration; unique among registrations. */
  number: number(),
  /** Whether the backend left, was drained or expired. Its registration is retained, so that a late heartbeat can't revive it. */
  leaving: boolean(),
  /** The index of the log entry by which it left, or 0. */
  leftAt: number(),
  /** Whether an operator drained it, after which no heartbeat revives it. */
  drained: boolean(),
  /** Identifies one run of the backend's process; empty where the backend sends none. */
  instance: defaulted(string(), ""),
  /** The number of requests that the backend processes concurrently; 0 if unknown. */
  capacity: defaulted(number(), 0),
  /** The remaining warm-up time that the backend reported when it registered, in milliseconds. */
  warmMs: defaulted(number(), 0),
  /** The sequence number of the heartbeat that created this registration, per instance. */
  order: defaulted(number(), 0),
});

/** A backend's registration, as replicated. */
export type Registration = Infer<typeof registrationShape>;

const hasBackendFields = (value: object): boolean =>
  "address" in value &&
  typeof value.address === "string" &&
  "service" in value &&
  typeof value.service === "string" &&
  "zone" in value &&
  typeof value.zone === "string" &&
  "instance" in value &&
  typeof value.instance === "string";

const hasLifecycleFields = (value: object): boolean =>
  "number" in value &&
  typeof value.number === "number" &&
  "leaving" in value &&
  typeof value.leaving === "boolean" &&
  "leftAt" in value &&
  typeof value.leftAt === "number" &&
  "drained" in value &&
  typeof value.drained === "boolean";

const hasCapacityFields = (value: object): boolean =>
  "warmth" in value &&
  typeof value.warmth === "number" &&
  "capacity" in value &&
  typeof value.capacity === "number" &&
  "warmMs" in value &&
  typeof value.warmMs === "number" &&
  "order" in value &&
  typeof value.order === "number";

const isRegistration = (value: unknown): value is Registration =>
  typeof value === "object" &&
  value !== null &&
  hasBackendFields(value) &&
  hasLifecycleFields(value) &&
  hasCapacityFields(value);

/** Whether a value is a list of complete registrations. Plain code checks it, since views often contain such a list. */
export const areRegistrations = (value: unknown): value is Registration[] =>
  Array.isArray(value) && value.every(isRegistration);
