import { readFileSync } from "node:fs";
import { Settings } from "./settings.js";
import { SettingsError } from "./settings-error.js";

const json = (text: string, path: string): unknown => {
  try {
    const value: unknown = JSON.parse(text);
    return value;
  } catch (error) {
    throw new SettingsError([
      { path, expected: `a file with JSON that can be read (${String(error)})` },
    ]);
  }
};

/** The file that settings are read from, again where it has changed. */
export class SettingsFile {
  private readonly path: string | undefined;
  private readonly translate: (text: string, path: string) => unknown;
  private text: string | undefined;

  /** Without a path, the settings are what is laid over nothing. */
  constructor(path: string | undefined, translate: (text: string, path: string) => unknown = json) {
    this.path = path;
    this.translate = translate;
  }

  /** Reads and checks the settings whole; raises their faults. */
  read(): Settings {
    if (this.path === undefined) return SettingsFile.checked(this.translate("{}", ""));
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
    return SettingsFile.checked(this.translate(this.text, this.path));
  }

  /** Whether the file now holds something else than when it was read last. */
  get hasChanged(): boolean {
    if (this.path === undefined) return false;
    try {
      return readFileSync(this.path, "utf8") !== this.text;
    } catch {
      return false;
    }
  }

  /** JSON in the product's own words, with flags laid over it. */
  static own(path: string | undefined, flags: Record<string, unknown>): SettingsFile {
    return new SettingsFile(path, (text, at) => {
      const value = json(text, at);
      return typeof value === "object" && value !== null && !Array.isArray(value)
        ? { ...value, ...flags }
        : value;
    });
  }

  private static checked(value: unknown): Settings {
    const checked = Settings.check(value);
    if ("faults" in checked) throw new SettingsError(checked.faults);
    return checked.settings;
  }
}
