/** Hashes of items and digests of sets of items, for comparing replicas. */
import xxhash from "xxhash-wasm";

const { h64 } = await xxhash();

/** The 64-bit hash of an item's text, which must contain all fields that two replicas of the item are compared by. */
export const itemHash = (text: string): bigint => h64(text);

/**
 * An incremental digest of a set of items: the sum of the items' hashes modulo 2^64. Sets with equal digests are considered
 * equal.
 */
export class SetDigest {
  private sum = 0n;

  /** Adds an item by its hash. */
  add(hash: bigint): void {
    this.sum = BigInt.asUintN(64, this.sum + hash);
  }

  /** Removes an added item by its hash. */
  remove(hash: bigint): void {
    this.sum = BigInt.asUintN(64, this.sum - hash);
  }

  /** The digest in hexadecimal. */
  get hex(): string {
    return this.sum.toString(16);
  }
}
