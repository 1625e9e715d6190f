import xxhash from "xxhash-wasm";

const { h64 } = await xxhash();

/** The hash of one item, made of everything that two copies of it must have alike. */
export const itemHash = (text: string): bigint => h64(text);

/**
 * A digest of a set of items, kept up at the cost of what changes: the sum of the items' hashes modulo 2^64. Two sets with the
 * same digest are taken for the same.
 */
export class SetDigest {
  private sum = 0n;

  /** Counts an item in. */
  add(hash: bigint): void {
    this.sum = BigInt.asUintN(64, this.sum + hash);
  }

  /** Counts an item out that was counted in. */
  remove(hash: bigint): void {
    this.sum = BigInt.asUintN(64, this.sum - hash);
  }

  /** The digest as it travels. */
  get text(): string {
    return this.sum.toString(16);
  }
}
