/** The interface of the commands: each adds itself to the program and registers its run. */
import type { CAC } from "cac";

/** Registers the run of the matched command; the promise resolves to the exit code. */
export type StartRun = (run: Promise<number>) => void;

/** Adds one command to the program. */
export type CommandDefinition = (program: CAC, start: StartRun) => void;
