import type { Config } from "../configuration/config.js";

type Route = Config["routes"][string];

/** Where one kind of request goes: a route as the daemons use it. */
export interface ActiveRoute {
  readonly name: string;
  /** The host in lower case, or undefined for any. */
  readonly host: string | undefined;
  /** The services that serve it, with their weights. */
  readonly splits: ReadonlyArray<{ readonly service: string; readonly weight: number }>;
  /** The first of its services, or the only one. */
  readonly service: string;
  readonly methods: ReadonlySet<string> | undefined;
  readonly path: string;
  readonly isPrefix: boolean;
  readonly kind: NonNullable<Route["kind"]>;
  readonly isDownload: boolean;
  readonly repeatable: boolean;
  readonly keyed: boolean;
  /** The largest number of back ends that one request may be sent to. */
  readonly attempts: number;
  readonly furtherTries: number;
  readonly giveUpMs: number;
  readonly goalMs: number;
  /** The rank of its requests, 0 the highest. */
  readonly priority: number;
  readonly stampHeader: string;
  readonly inHandLimit: number;
  /** A service by weight, for a draw from 0 up to 1. */
  choose(draw: number): string;
  /** Whether requests may go to a service. */
  takes(service: string): boolean;
}
