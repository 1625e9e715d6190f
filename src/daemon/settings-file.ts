/** Reads and checks the settings file, and detects its changes. */
import { readFileSync } from "node:fs";
import { type Settings, checkSettings } from "./settings.js";
import { SettingsError } from "./settings-error.js";

const parseJson = (text: string, path: string): unknown => {
  try {
    const value: unknown = JSON.parse(text);
    return value;
  } catch (error) {
    throw new SettingsError([{ path, expected: `valid JSON (${String(error)})` }]);
  }
};

/** A settings file that is read repeatedly while a daemon runs. */
export class SettingsFile {
  private readonly path: string | undefined;
  private readonly translate: (text: string, path: string) => unknown;
  private text: string | undefined;

  /** `translate` converts the file's text to daledoor's own format; without a path, it receives the text `{}`. */
  constructor(
    path: string | undefined,
    translate: (text: string, path: string) => unknown = parseJson,
  ) {
    this.path = path;
    this.translate = translate;
  }

  /** Reads and checks the settings; throws a SettingsError with all faults if they are invalid. */
  read(): Settings {
    if (this.path === undefined) return SettingsFile.validate(this.translate("{}", ""));
    try {
      this.text = readFileSync(this.path, "utf8");
    } catch (error) {
      throw new SettingsError([
        {
          path: this.path,
          expected: `a readable file (${error instanceof Error ? error.message : String(error)})`,
        },
      ]);
    }
    return SettingsFile.validate(this.translate(this.text, this.path));
  }

  /** Whether the file's text differs from the text last read; false if the file can't be read. */
  get hasChanged(): boolean {
    if (this.path === undefined) return false;
    try {
      return readFileSync(this.path, "utf8") !== this.text;
    } catch {
      return false;
    }
  }

  /** Creates a settings file in daledoor's own format whose fields the flags override. */
  static withOverrides(file: string | undefined, flags: Record<string, unknown>): SettingsFile {
    return new SettingsFile(file, (text, path) => {
      const value = parseJson(text, path);
      return typeof value === "object" && value !== null && !Array.isArray(value)
        ? { ...value, ...flags }
        : value;
    });
  }

  private static validate(value: unknown): Settings {
    const checked = checkSettings(value);
    if ("faults" in checked) throw new SettingsError(checked.faults);
    return checked.settings;
  }
}
