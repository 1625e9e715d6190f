import {
  array,
  create,
  literal,
  number,
  object,
  record,
  string,
  union,
  type Infer,
} from "superstruct";

const backEndShape = object({ address: string(), service: string(), zone: string() });

const orderShape = union([
  /** More hollow daemons, by their numbers. */
  object({
    kind: literal("open"),
    from: number(),
    count: number(),
    seeds: array(string()),
    /** The zone of each peer that is far from some. */
    zones: record(string(), string()),
    spread: object({ zones: number(), regions: number() }),
    bounds: object({ applyMs: number(), drainMs: number() }),
    heartbeatMs: number(),
  }),
  /** Back ends that announce themselves here from now on. */
  object({ kind: literal("announce"), backEnds: array(backEndShape), everyMs: number() }),
  /** Back ends that fall silent. */
  object({ kind: literal("silence"), addresses: array(string()) }),
  object({ kind: literal("count"), perSecond: number(), services: number(), routes: number() }),
  object({ kind: literal("write"), perSecond: number() }),
  /** Waits until each daemon here serves by a config. */
  object({ kind: literal("awaitConfig"), sequence: number() }),
  /** Waits until no daemon here chooses a back end any more. */
  object({ kind: literal("awaitGone"), addresses: array(string()), services: array(string()) }),
  object({ kind: literal("report"), collect: number() }),
]);

/** What a process of hollow daemons is told. */
export type ScaleOrder = Infer<typeof orderShape>;

const numberedShape = object({ id: number(), order: orderShape });
const returnShape = object({
  id: number(),
  figures: record(string(), number()),
  times: array(number()),
});

/** What a process of hollow daemons returns. */
export type ScaleReturn = Infer<typeof returnShape>;

export const ScaleOrder = {
  read: (value: unknown): Infer<typeof numberedShape> => create(value, numberedShape),
  readReturn: (value: unknown): ScaleReturn => create(value, returnShape),
};
