/** Hashes of items and digests of sets of items, by which replicas are compared. */
import xxhash from "xxhash-wasm";

const { h64 } = await xxhash();

/** The 64-bit hash of an item's text, which contains everything in which two replicas of the item must agree. */
export const itemHash = (text: string): bigint => h64(text);

/**
 * A digest of a set of items that is updated in proportion to the changes: the sum of the items' hashes modulo 2^64. Two sets
 * with the same digest are considered equal.
 */
export class SetDigest {
  private sum = 0n;

  /** Adds an item by its hash. */
  add(hash: bigint): void {
    this.sum = BigInt.asUintN(64, this.sum + hash);
  }

  /** Removes an item that was added. */
  remove(hash: bigint): void {
    this.sum = BigInt.asUintN(64, this.sum - hash);
  }

  /** The digest as it travels, in hexadecimal. */
  get hex(): string {
    return this.sum.toString(16);
  }
}
