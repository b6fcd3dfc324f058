// Compares strategies for choosing subsets of targets. Usage: npx tsx scripts/measure-subsets.mjs
// For each size it prints, relative to the mean: the minimum and maximum number of callers of a
// target, and the maximum and standard deviation of the extra load on the remaining targets when
// one target is lost. `newPairs` is the ratio of (caller, target) pairs that are new once every
// caller has detected the loss.
import { hashText } from '@daisyferry/routing/hash-text';
import { permutedSubset } from '@daisyferry/routing/subset';

const SAMPLED_LOSSES = 100;
const SIZES = [
  { callers: 4, targets: 3, size: 20 },
  { callers: 4, targets: 4, size: 3 },
  { callers: 28, targets: 28, size: 20 },
  { callers: 28, targets: 28, size: 8 },
  { callers: 100, targets: 100, size: 20 },
  { callers: 300, targets: 100, size: 20 },
  { callers: 100, targets: 101, size: 20 },
  { callers: 1000, targets: 300, size: 20 },
  { callers: 1000, targets: 1000, size: 20 },
  { callers: 1000, targets: 997, size: 20 },
  { callers: 18000, targets: 1000, size: 20 },
];

function range(count) {
  return Array.from({ length: count }, (_, index) => index);
}

function roundRobinSubset(caller, targets, size) {
  if (size >= targets) return range(targets);
  return range(size).map((step) => (caller * size + step) % targets);
}

function rendezvousSubset(caller, targets, size) {
  const ranked = range(targets).map((target) => [hashText(`${caller}/${target}`), target]);
  ranked.sort((left, right) => left[0] - right[0]);
  return ranked.slice(0, size).map(([, target]) => target);
}

function summarize(values) {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const variance = values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / values.length;
  return {
    mean,
    max: Math.max(...values),
    min: Math.min(...values),
    deviation: Math.sqrt(variance),
  };
}

function countCallersByTarget(subsets, targets) {
  const counts = new Array(targets).fill(0);
  for (const subset of subsets) for (const target of subset) counts[target] += 1;
  return counts;
}

/**
 * Extra load on each remaining target: callers of the lost target divide its load among the rest.
 */
function summarizeExtraLoad(subsets, targets, lost) {
  const extraLoads = new Array(targets).fill(0);
  for (const subset of subsets) {
    if (!subset.includes(lost)) continue;
    for (const target of subset) extraLoads[target] += 1 / subset.length / (subset.length - 1);
  }
  extraLoads.splice(lost, 1);
  return summarize(extraLoads);
}

/** Ratio of (caller, target) pairs that are new after the loss of the last target. */
function newPairRatio(chooseSubset, { callers, targets, size }, subsets) {
  let newCount = 0;
  let totalCount = 0;
  for (const caller of range(callers)) {
    const before = new Set(subsets[caller]);
    const after = chooseSubset(caller, targets - 1, size);
    totalCount += after.length;
    newCount += after.filter((target) => !before.has(target)).length;
  }
  return newCount / totalCount;
}

function measureStrategy(chooseSubset, shape) {
  const { callers, targets, size } = shape;
  const subsets = range(callers).map((caller) => chooseSubset(caller, targets, size));
  const callerCounts = summarize(countCallersByTarget(subsets, targets));
  const step = Math.max(1, Math.floor(targets / SAMPLED_LOSSES));
  const losses = range(targets)
    .filter((target) => target % step === 0)
    .map((lost) => summarizeExtraLoad(subsets, targets, lost))
    .filter(({ mean }) => mean > 0);
  const extraMax = Math.max(...losses.map(({ max, mean }) => max / mean));
  const extraDeviation =
    losses.reduce((sum, loss) => sum + loss.deviation / loss.mean, 0) / losses.length;
  return {
    callersMin: (callerCounts.min / callerCounts.mean).toFixed(2),
    callersMax: (callerCounts.max / callerCounts.mean).toFixed(2),
    extraMax: extraMax.toFixed(2),
    extraDeviation: extraDeviation.toFixed(2),
    newPairs: newPairRatio(chooseSubset, shape, subsets).toFixed(2),
  };
}

const STRATEGIES = {
  roundRobin: roundRobinSubset,
  permuted: permutedSubset,
  rendezvous: rendezvousSubset,
};
const rows = SIZES.flatMap((shape) =>
  Object.entries(STRATEGIES)
    .filter(([strategy]) => strategy !== 'rendezvous' || shape.callers * shape.targets <= 1_000_000)
    .map(([strategy, chooseSubset]) => ({
      ...shape,
      way: strategy,
      ...measureStrategy(chooseSubset, shape),
    })),
);
console.table(rows);
