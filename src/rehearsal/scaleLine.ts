/** A straight line through measured points. */
export interface ScaleLine {
  readonly slope: number;
  /** The standard error of the slope. */
  readonly error: number;
  readonly start: number;
}

const mean = (values: number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

export const ScaleLine = {
  /** The line of least squares; the error is unknown with fewer than three points. */
  fit(points: ReadonlyArray<readonly [x: number, y: number]>): ScaleLine {
    const [middleX, middleY] = [mean(points.map(([x]) => x)), mean(points.map(([, y]) => y))];
    const spread = points.reduce((sum, [x]) => sum + (x - middleX) ** 2, 0);
    const slope = points.reduce((sum, [x, y]) => sum + (x - middleX) * (y - middleY), 0) / spread;
    const start = middleY - slope * middleX;
    const left = points.reduce((sum, [x, y]) => sum + (y - start - slope * x) ** 2, 0);
    return {
      slope,
      start,
      error: points.length > 2 ? Math.sqrt(left / (points.length - 2) / spread) : NaN,
    };
  },
};
