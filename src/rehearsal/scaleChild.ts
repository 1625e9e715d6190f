import { fork, type ChildProcess } from "node:child_process";
import { fileURLToPath } from "node:url";
import { ScaleOrder, type ScaleReturn } from "./scaleOrder.js";
import { ProcessReading } from "./scaleProcess.js";

const program = fileURLToPath(new URL("./scaleChildMain.js", import.meta.url));

/** A process of hollow daemons, as its parent sees it. */
export class ScaleChild {
  private readonly process: ChildProcess;
  private readonly waiting = new Map<number, (ret: ScaleReturn) => void>();
  private nextId = 1;
  daemons = 0;

  constructor() {
    this.process = fork(program, {
      execArgv: ["--expose-gc"],
      stdio: ["ignore", "inherit", "inherit", "ipc"],
    });
    this.process.on("message", (value) => {
      const ret = ScaleOrder.readReturn(value);
      this.waiting.get(ret.id)?.(ret);
      this.waiting.delete(ret.id);
    });
  }

  /** Has an order carried out and waits for what comes of it. */
  tell(order: ScaleOrder): Promise<ScaleReturn> {
    const id = this.nextId;
    this.nextId += 1;
    if (order.kind === "open") this.daemons += order.count;
    return new Promise((done) => {
      this.waiting.set(id, done);
      this.process.send({ id, order });
    });
  }

  reading(): ProcessReading {
    return ProcessReading.of(this.process.pid ?? 0);
  }

  /** Ends the process at once. */
  end(): Promise<void> {
    return new Promise((done) => {
      this.process.removeAllListeners("message");
      this.process.once("exit", () => done());
      this.process.kill("SIGKILL");
    });
  }
}
