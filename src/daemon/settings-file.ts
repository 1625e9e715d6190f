/** The settings file: reading, checking and detecting changes. */
import { readFileSync } from "node:fs";
import { type Settings, checkSettings } from "./settings.js";
import { SettingsError } from "./settings-error.js";

const parseJson = (text: string, path: string): unknown => {
  try {
    const value: unknown = JSON.parse(text);
    return value;
  } catch (error) {
    throw new SettingsError([
      { path, expected: `a file with JSON that can be read (${String(error)})` },
    ]);
  }
};

/** A file that settings are read from, repeatedly while a daemon runs. */
export class SettingsFile {
  private readonly path: string | undefined;
  private readonly translate: (text: string, path: string) => unknown;
  private text: string | undefined;

  /** `translate` turns the file's text into daledoor's own format; without a path it is given an empty object. */
  constructor(
    path: string | undefined,
    translate: (text: string, path: string) => unknown = parseJson,
  ) {
    this.path = path;
    this.translate = translate;
  }

  /** Reads and checks the settings; throws a SettingsError with all their faults. */
  read(): Settings {
    if (this.path === undefined) return SettingsFile.validated(this.translate("{}", ""));
    try {
      this.text = readFileSync(this.path, "utf8");
    } catch (error) {
      throw new SettingsError([
        {
          path: this.path,
          expected: `a file that can be read (${error instanceof Error ? error.message : String(error)})`,
        },
      ]);
    }
    return SettingsFile.validated(this.translate(this.text, this.path));
  }

  /** Whether the file's text differs from what was last read; false where it can't be read. */
  get hasChanged(): boolean {
    if (this.path === undefined) return false;
    try {
      return readFileSync(this.path, "utf8") !== this.text;
    } catch {
      return false;
    }
  }

  /** A file in daledoor's own format, with flags overriding its fields. */
  static withOverrides(file: string | undefined, flags: Record<string, unknown>): SettingsFile {
    return new SettingsFile(file, (text, path) => {
      const value = parseJson(text, path);
      return typeof value === "object" && value !== null && !Array.isArray(value)
        ? { ...value, ...flags }
        : value;
    });
  }

  private static validated(value: unknown): Settings {
    const checked = checkSettings(value);
    if ("faults" in checked) throw new SettingsError(checked.faults);
    return checked.settings;
  }
}
