/** The accepted configurations that a member's history may not contain yet, followed by the active one. */
import { type AcceptedConfig, storedConfig } from "./accepted-config.js";
import { type ConfigPayload, decodeConfigPayload } from "./config-payload.js";

/** A configuration as its log entry contains it; the first entry of a backlog contains the complete text. */
interface BacklogEntry {
  readonly config: Omit<AcceptedConfig, "text" | "delta">;
  readonly payload: ConfigPayload;
  readonly textLength: number;
}

const withText = (config: AcceptedConfig): BacklogEntry => {
  const { text, ...stored } = storedConfig(config);
  return { config: stored, payload: { text }, textLength: text.length };
};

/**
 * Accepted configurations in the order of their sequences. Only the first and the newest are retained with their complete texts,
 * the others as deltas: a member that replays its log applies thousands of configurations before any of them is released.
 */
export class ConfigBacklog {
  private entries: BacklogEntry[] = [];
  private newestConfig: AcceptedConfig | undefined;
  private totalLength = 0;

  /** The number of configurations. */
  get size(): number {
    return this.entries.length;
  }

  /** The active configuration. */
  get newest(): AcceptedConfig | undefined {
    return this.newestConfig;
  }

  /** The sequence of the oldest configuration. */
  get firstSequence(): number | undefined {
    return this.entries[0]?.config.sequence;
  }

  /** The length of all complete texts, in UTF-16 code units. */
  get textLength(): number {
    return this.totalLength;
  }

  /** Adds a configuration as its log entry contains it; it becomes the active one. */
  add(config: BacklogEntry["config"], payload: ConfigPayload): void {
    const decoded = decodeConfigPayload(payload, this.newestConfig?.text);
    const entry: BacklogEntry = { config, payload, textLength: decoded.text.length };
    this.newestConfig = { ...config, ...decoded };
    this.entries.push(this.entries.length === 0 ? withText(this.newestConfig) : entry);
    this.totalLength += entry.textLength;
  }

  /** Replaces all configurations. */
  restore(configs: readonly AcceptedConfig[]): void {
    this.setEntries(configs.map(withText));
    this.newestConfig = configs.at(-1);
  }

  /** Drops the configurations up to a sequence; retains the active one. */
  release(upToSequence: number): void {
    const newest = this.newestConfig;
    const first = this.firstSequence;
    if (!newest || first === undefined || upToSequence < first) return;
    const config = upToSequence >= newest.sequence ? newest : this.find(upToSequence + 1);
    if (!config) return;
    const isLater = (entry: BacklogEntry): boolean => entry.config.sequence > config.sequence;
    this.setEntries([withText(config), ...this.entries.filter(isLater)]);
  }

  /** Returns the configuration with a sequence. */
  find(sequence: number): AcceptedConfig | undefined {
    if (sequence === this.newestConfig?.sequence) return this.newestConfig;
    const [found] = this.readFrom(sequence);
    return found?.sequence === sequence ? found : undefined;
  }

  /** Yields the configurations that are contained now, oldest first; each complete text is created when it is reached. */
  *read(): Generator<AcceptedConfig, void> {
    let previousText: string | undefined;
    for (const { config, payload } of [...this.entries]) {
      const decoded = decodeConfigPayload(payload, previousText);
      previousText = decoded.text;
      yield { ...config, ...decoded };
    }
  }

  /** Yields the configurations from a sequence on, as `read` does. */
  *readFrom(sequence: number): Generator<AcceptedConfig, void> {
    for (const config of this.read()) if (config.sequence >= sequence) yield config;
  }

  /** The sequence of the oldest of the newest configurations whose complete texts stay within a length; at least the active one. */
  firstSequenceWithin(maxTextLength: number): number {
    let length = 0;
    let first = this.newestConfig?.sequence ?? 0;
    for (const { config, textLength } of [...this.entries].reverse()) {
      length += textLength;
      if (length > maxTextLength) break;
      first = config.sequence;
    }
    return first;
  }

  private setEntries(entries: BacklogEntry[]): void {
    this.entries = entries;
    this.totalLength = entries.reduce((sum, { textLength }) => sum + textLength, 0);
  }
}
