/** The common form of the commands: each adds itself to the program and hands over its run. */
import type { CAC } from "cac";

/** Takes the run of the command that the arguments name; it resolves to the exit code. */
export type StartRun = (run: Promise<number>) => void;

/** Adds one command to the program. */
export type CommandDefinition = (program: CAC, start: StartRun) => void;
