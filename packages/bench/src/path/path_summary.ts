/** Summarizes the figures of the path and their ratios over rounds. */
import {getQuantile} from '../utils/statistics.js';
import type {PathRound} from './measure_path.js';
import type {RouteFigures} from './measure_route.js';

/** Median, minimum and maximum over several rounds. */
export interface Spread {
  readonly median: number;
  readonly min: number;
  readonly max: number;
}

/** One figure of the three routes, and its ratios within each round. */
export interface PathSummaryRow {
  readonly figure: keyof RouteFigures;
  readonly direct: Spread;
  readonly relay: Spread;
  readonly path: Spread;
  readonly pathToDirect: Spread;
  readonly pathToRelay: Spread;
}

/** Figures and ratios over all rounds. */
export interface PathSummary {
  readonly rows: readonly PathSummaryRow[];
  readonly commitP50Ms: Spread;
  readonly writesPerRequest: Spread;
}

const figures = [
  'plainP50Ms',
  'plainPerSecond',
  'plainCpuMs',
  'firstTokenP50Ms',
  'tokenCpuUs',
] as const satisfies ReadonlyArray<keyof RouteFigures>;

/**
 * Summarizes rounds; ratios are formed within each round.
 * @param rounds - One or more rounds.
 */
export function summarizePath(rounds: readonly PathRound[]): PathSummary {
  const over = (get: (round: PathRound) => number) =>
    createSpread(rounds.map(get));
  const rows = figures.map((figure) => ({
    figure,
    direct: over(({direct}) => direct[figure]),
    relay: over(({relay}) => relay[figure]),
    path: over(({path}) => path[figure]),
    pathToDirect: over(({path, direct}) => path[figure] / direct[figure]),
    pathToRelay: over(({path, relay}) => path[figure] / relay[figure]),
  }));
  return {
    rows,
    commitP50Ms: over(({commitP50Ms}) => commitP50Ms),
    writesPerRequest: over(({writesPerRequest}) => writesPerRequest),
  };
}

function createSpread(values: readonly number[]): Spread {
  return {
    median: getQuantile(values, 0.5),
    min: Math.min(...values),
    max: Math.max(...values),
  };
}
