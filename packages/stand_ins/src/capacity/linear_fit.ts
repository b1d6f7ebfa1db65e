/** Straight lines through measured points. */

/** A measured point. */
export interface Point {
  x: number;
  y: number;
}

/** A line `y = intercept + slope * x`. */
export interface Line {
  intercept: number;
  slope: number;
}

/** Computes the line with the least squared distances; needs two points. */
export function computeLine(points: readonly Point[]): Line {
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

/** Computes the value of a line. */
export function computeAt({intercept, slope}: Line, x: number): number {
  return intercept + slope * x;
}
