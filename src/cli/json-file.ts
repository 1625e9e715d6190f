/** Reads the JSON files that commands have as arguments. */
import { readFile } from "node:fs/promises";
import { errorMessage, printError } from "./output.js";

/** Reads and parses a file; if that fails, prints the reason on standard error and returns undefined. */
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
