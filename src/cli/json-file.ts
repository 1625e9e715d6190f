/** Reading of the JSON files that commands are given. */
import { readFile } from "node:fs/promises";
import { errorMessage, printError } from "./output.js";

/** Reads and parses a file; undefined, with the reason on the error stream, where that fails. */
export const readJsonFile = async (
  file: string,
): Promise<{ text: string; value: unknown } | undefined> => {
  try {
    const text = await readFile(file, "utf8");
    const value: unknown = JSON.parse(text);
    return { text, value };
  } catch (error) {
    printError(`${file}: ${errorMessage(error)}`);
    return undefined;
  }
};
