/** A seeded pseudorandom number generator (xorshift). */
export const RandomDraw = {
  /** Returns a generator of numbers from 0 up to 1, which repeats for the same seed. */
  of(seed: number): () => number {
    let state = (seed * 2654435761) >>> 0 || 1;
    return () => {
      state ^= state << 13;
      state >>>= 0;
      state ^= state >>> 17;
      state ^= state << 5;
      state >>>= 0;
      return state / 2 ** 32;
    };
  },
};
