/** Least-squares fit of a straight line to measured points. */

export interface Point {
  x: number;
  y: number;
}

/** A line `y = intercept + slope * x`. */
export interface FittedLine {
  intercept: number;
  slope: number;
}

/**
 * Computes the least-squares line of `y` on `x`; needs at least two different
 * values of `x`.
 */
export function computeLeastSquaresLine(points: readonly Point[]): FittedLine {
  const count = points.length;
  const meanX = points.reduce((sum, {x}) => sum + x, 0) / count;
  const meanY = points.reduce((sum, {y}) => sum + y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const {x, y} of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = covariance / variance;
  return {slope, intercept: meanY - slope * meanX};
}

/** Computes the `y` of a line at `x`. */
export function computeLineValue(
  {intercept, slope}: FittedLine,
  x: number,
): number {
  return intercept + slope * x;
}
