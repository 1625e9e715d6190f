import { array, number, string, tuple, union, type Infer } from "superstruct";

/** The shape of one step: a stretch of the base that is copied (from, length), or text that is new. */
const stepShape = union([tuple([number(), number()]), string()]);

/** The shape of a delta as it is stored. */
export const textDeltaShape = array(stepShape);

type Step = Infer<typeof stepShape>;

/** How a text is put together from a base: stretches of the base and new text, in order. */
export type TextDelta = Step[];

/** The length of the blocks of the base that are looked for in the new text. */
const blockLength = 32;

/** The factor of the rolling hash of a block: the hash of the characters c0 to cn is c0 f^n + ... + cn, in 32 bits. */
const hashFactor = 0x01000193;
/** The factor by which a block's first character stands in its hash. */
const firstFactor = Array.from({ length: blockLength - 1 }).reduce<number>(
  (power) => Math.imul(power, hashFactor),
  1,
);

/** The hash of the block of a text that begins at a place. */
const blockHash = (text: string, from: number): number => {
  let hash = 0;
  for (let at = from; at < from + blockLength; at += 1)
    hash = (Math.imul(hash, hashFactor) + text.charCodeAt(at)) | 0;
  return hash;
};

/** The hash of the block one place further on than that of a hash. */
const nextHash = (hash: number, text: string, from: number): number => {
  const rest = (hash - Math.imul(text.charCodeAt(from), firstFactor)) | 0;
  return (Math.imul(rest, hashFactor) + text.charCodeAt(from + blockLength)) | 0;
};

/** Where each block of a stretch of the base begins, by its hash; of those with equal hashes the first. */
const blocksOf = (base: string, from: number, to: number): Map<number, number> => {
  const blocks = new Map<number, number>();
  for (let at = from; at + blockLength <= to; at += blockLength) {
    const hash = blockHash(base, at);
    if (!blocks.has(hash)) blocks.set(hash, at);
  }
  return blocks;
};

/** How many characters two texts share from two places on. */
const sharedFrom = (base: string, baseAt: number, text: string, textAt: number): number => {
  let length = 0;
  const most = Math.min(base.length - baseAt, text.length - textAt);
  while (length < most && base.charCodeAt(baseAt + length) === text.charCodeAt(textAt + length))
    length += 1;
  return length;
};

/** How many characters two texts share before two places, at most so many. */
const sharedBefore = (
  base: string,
  baseAt: number,
  text: string,
  textAt: number,
  most: number,
): number => {
  let length = 0;
  while (
    length < Math.min(most, baseAt) &&
    base.charCodeAt(baseAt - length - 1) === text.charCodeAt(textAt - length - 1)
  )
    length += 1;
  return length;
};

/** The steps for a stretch of the text, found by the blocks of a stretch of the base. */
const stepsBetween = (
  base: string,
  baseRange: { from: number; to: number },
  text: string,
  textRange: { from: number; to: number },
): Step[] => {
  const steps: Step[] = [];
  let newFrom = textRange.from;
  let at = textRange.from;
  const blocks =
    textRange.to - at < blockLength
      ? new Map<number, number>()
      : blocksOf(base, baseRange.from, baseRange.to);
  let hash = blocks.size > 0 ? blockHash(text, at) : 0;
  while (blocks.size > 0 && at + blockLength <= textRange.to) {
    const blockAt = blocks.get(hash);
    const shared = blockAt === undefined ? 0 : sharedFrom(base, blockAt, text, at);
    if (blockAt === undefined || shared < blockLength) {
      hash = nextHash(hash, text, at);
      at += 1;
      continue;
    }
    const before = sharedBefore(base, blockAt, text, at, at - newFrom);
    const after = Math.min(shared, textRange.to - at);
    if (at - before > newFrom) steps.push(text.slice(newFrom, at - before));
    steps.push([blockAt - before, before + after]);
    at += after;
    newFrom = at;
    hash = blockHash(text, at);
  }
  if (newFrom < textRange.to) steps.push(text.slice(newFrom, textRange.to));
  return steps;
};

export const TextDelta = {
  /** The delta that makes a text from a base: short where most of the text stands in the base. */
  between(base: string, text: string): TextDelta {
    const first = sharedFrom(base, 0, text, 0);
    const most = Math.min(base.length, text.length) - first;
    const last = sharedBefore(base, base.length, text, text.length, most);
    const steps = stepsBetween(base, { from: first, to: base.length - last }, text, {
      from: first,
      to: text.length - last,
    });
    if (first > 0) steps.unshift([0, first]);
    if (last > 0) steps.push([base.length - last, last]);
    return steps;
  },

  /** The text that a delta makes from its base. */
  apply(base: string, delta: TextDelta): string {
    let text = "";
    for (const step of delta)
      text += typeof step === "string" ? step : base.slice(step[0], step[0] + step[1]);
    return text;
  },
};
