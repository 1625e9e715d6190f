/** What the harness's main process tells its worker processes. */
import {
  array,
  create,
  enums,
  type Infer,
  literal,
  number,
  record,
  string,
  type,
  union,
} from "superstruct";

/** The options of a worker process, its first argument as JSON. */
const workerOptionsShape = type({
  profile: string(),
  /** Machines of the profile, with those left out for a smaller run. */
  machineCount: number(),
  name: string(),
  /** Which share of the work this process does: `index` of `count`. */
  index: number(),
  count: number(),
  seed: number(),
  rate: number(),
  network: string(),
  httpPort: number(),
  controlPort: number(),
  eventsFile: string(),
});

const commandShape = union([
  /** The machines that receive new connections, by zone. */
  type({ kind: literal("ready"), machines: record(string(), array(string())) }),
  type({ kind: literal("start") }),
  /** The number of this process's backends that leave now, and how. */
  type({ kind: literal("leave"), count: number(), how: enums(["drain", "deregister"]) }),
  type({ kind: literal("stop") }),
]);

/** The options of a worker process. */
export type WorkerOptions = Infer<typeof workerOptionsShape>;
/** A command to a worker process. */
export type WorkerCommand = Infer<typeof commandShape>;

/** Reads the options of this worker process. */
export const readWorkerOptions = (): WorkerOptions =>
  create(JSON.parse(process.argv[2] ?? "{}"), workerOptionsShape);

/** Calls back for each command of the main process; the process ends with its parent. */
export const onCommand = (run: (command: WorkerCommand) => void): void => {
  process.on("message", (message) => run(create(message, commandShape)));
  process.once("disconnect", () => process.exit(1));
};
