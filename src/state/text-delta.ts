/** Deltas between texts: a text as copies from a base text and inserted text. */
import { array, number, string, tuple, union, type Infer } from "superstruct";

/** The stored shape of a step: a range of the base that is copied (start, length), or text that is inserted. */
const stepShape = union([tuple([number(), number()]), string()]);

/** The stored shape of a delta. */
export const textDeltaShape = array(stepShape);

type Step = Infer<typeof stepShape>;

/** The steps that make a text from its base, in order. */
export type TextDelta = Step[];

/** A range of a text: from an index up to another one, exclusive. */
interface Range {
  readonly from: number;
  readonly to: number;
}

/** The length of the blocks of the base that are searched in the text, in characters. */
const BLOCK_CHARS = 32;

/** The factor of a block's rolling hash: the hash of the characters c0 to cn is c0 f^n + ... + cn, in 32 bits. */
const HASH_FACTOR = 0x01000193;
/** The factor of a block's first character in its hash. */
const FIRST_CHAR_FACTOR = Array.from({ length: BLOCK_CHARS - 1 }).reduce<number>(
  (power) => Math.imul(power, HASH_FACTOR),
  1,
);

/** The hash of the block of a text that begins at an index. */
const blockHash = (text: string, from: number): number => {
  let hash = 0;
  for (let index = from; index < from + BLOCK_CHARS; index += 1)
    hash = (Math.imul(hash, HASH_FACTOR) + text.charCodeAt(index)) | 0;
  return hash;
};

/** The hash of the block that begins one character after the block with `hash` at an index. */
const nextHash = (hash: number, text: string, from: number): number => {
  const rest = (hash - Math.imul(text.charCodeAt(from), FIRST_CHAR_FACTOR)) | 0;
  return (Math.imul(rest, HASH_FACTOR) + text.charCodeAt(from + BLOCK_CHARS)) | 0;
};

/** The index of each block of a range of the base by its hash; of those with equal hashes the first. */
const indexBlocks = (base: string, { from, to }: Range): Map<number, number> => {
  const blocks = new Map<number, number>();
  for (let index = from; index + BLOCK_CHARS <= to; index += BLOCK_CHARS) {
    const hash = blockHash(base, index);
    if (!blocks.has(hash)) blocks.set(hash, index);
  }
  return blocks;
};

/** How many characters two texts have in common from two indexes on. */
const commonLengthFrom = (
  base: string,
  baseIndex: number,
  text: string,
  textIndex: number,
): number => {
  let length = 0;
  const maxLength = Math.min(base.length - baseIndex, text.length - textIndex);
  while (
    length < maxLength &&
    base.charCodeAt(baseIndex + length) === text.charCodeAt(textIndex + length)
  )
    length += 1;
  return length;
};

/** How many characters two texts have in common before two indexes, up to `maxLength`. */
const commonLengthBefore = (
  base: string,
  baseIndex: number,
  text: string,
  textIndex: number,
  maxLength: number,
): number => {
  let length = 0;
  while (
    length < Math.min(maxLength, baseIndex) &&
    base.charCodeAt(baseIndex - length - 1) === text.charCodeAt(textIndex - length - 1)
  )
    length += 1;
  return length;
};

/** The steps for a range of the text, found by the blocks of a range of the base. */
const computeSteps = (base: string, baseRange: Range, text: string, textRange: Range): Step[] => {
  const steps: Step[] = [];
  /** Where the text begins for which there is no step yet. */
  let pendingFrom = textRange.from;
  let index = textRange.from;
  const blocks =
    textRange.to - index < BLOCK_CHARS ? new Map<number, number>() : indexBlocks(base, baseRange);
  let hash = blocks.size > 0 ? blockHash(text, index) : 0;
  while (blocks.size > 0 && index + BLOCK_CHARS <= textRange.to) {
    const blockIndex = blocks.get(hash);
    const common = blockIndex === undefined ? 0 : commonLengthFrom(base, blockIndex, text, index);
    if (blockIndex === undefined || common < BLOCK_CHARS) {
      hash = nextHash(hash, text, index);
      index += 1;
      continue;
    }
    const before = commonLengthBefore(base, blockIndex, text, index, index - pendingFrom);
    const after = Math.min(common, textRange.to - index);
    if (index - before > pendingFrom) steps.push(text.slice(pendingFrom, index - before));
    steps.push([blockIndex - before, before + after]);
    index += after;
    pendingFrom = index;
    hash = blockHash(text, index);
  }
  if (pendingFrom < textRange.to) steps.push(text.slice(pendingFrom, textRange.to));
  return steps;
};

/** The delta that makes a text from a base: short where most of the text occurs in the base. */
export function computeTextDelta(base: string, text: string): TextDelta {
  const prefix = commonLengthFrom(base, 0, text, 0);
  const maxSuffix = Math.min(base.length, text.length) - prefix;
  const suffix = commonLengthBefore(base, base.length, text, text.length, maxSuffix);
  const steps = computeSteps(base, { from: prefix, to: base.length - suffix }, text, {
    from: prefix,
    to: text.length - suffix,
  });
  if (prefix > 0) steps.unshift([0, prefix]);
  if (suffix > 0) steps.push([base.length - suffix, suffix]);
  return steps;
}

/** The text that a delta makes from its base. */
export function applyTextDelta(base: string, delta: TextDelta): string {
  let text = "";
  for (const step of delta)
    text += typeof step === "string" ? step : base.slice(step[0], step[0] + step[1]);
  return text;
}
