// Compares ways of choosing subsets of targets. Run by hand: npx tsx scripts/measure-subsets.mjs
// For each size it prints: callers of a target (least, most, over the mean), the extra load on the
// survivors when one target is lost (most over mean, and the standard deviation over the mean), and
// the share of (caller, target) pairs that are new once every caller knows of the loss.
import { hashText } from '@daisyferry/routing/hash-text';
import { permutedSubset } from '@daisyferry/routing/subset';

const LOST_TARGETS = 100;
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

function spread(values) {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const variance = values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / values.length;
  return {
    mean,
    max: Math.max(...values),
    min: Math.min(...values),
    deviation: Math.sqrt(variance),
  };
}

function callersOf(subsets, targets) {
  const counts = new Array(targets).fill(0);
  for (const subset of subsets) for (const target of subset) counts[target] += 1;
  return counts;
}

/** Extra load on each survivor: the callers of the lost target share its load over their others. */
function extraLoad(subsets, targets, lost) {
  const extra = new Array(targets).fill(0);
  for (const subset of subsets) {
    if (!subset.includes(lost)) continue;
    for (const target of subset) extra[target] += 1 / subset.length / (subset.length - 1);
  }
  extra.splice(lost, 1);
  return spread(extra);
}

/** Share of pairs that no caller had before the last target went. */
function newPairs(choose, { callers, targets, size }, subsets) {
  let fresh = 0;
  let total = 0;
  for (const caller of range(callers)) {
    const before = new Set(subsets[caller]);
    const after = choose(caller, targets - 1, size);
    total += after.length;
    fresh += after.filter((target) => !before.has(target)).length;
  }
  return fresh / total;
}

function measure(choose, shape) {
  const { callers, targets, size } = shape;
  const subsets = range(callers).map((caller) => choose(caller, targets, size));
  const coverage = spread(callersOf(subsets, targets));
  const step = Math.max(1, Math.floor(targets / LOST_TARGETS));
  const losses = range(targets)
    .filter((target) => target % step === 0)
    .map((lost) => extraLoad(subsets, targets, lost))
    .filter(({ mean }) => mean > 0);
  const worst = Math.max(...losses.map(({ max, mean }) => max / mean));
  const deviation =
    losses.reduce((sum, loss) => sum + loss.deviation / loss.mean, 0) / losses.length;
  return {
    callersMin: (coverage.min / coverage.mean).toFixed(2),
    callersMax: (coverage.max / coverage.mean).toFixed(2),
    extraMax: worst.toFixed(2),
    extraDeviation: deviation.toFixed(2),
    newPairs: newPairs(choose, shape, subsets).toFixed(2),
  };
}

const WAYS = {
  roundRobin: roundRobinSubset,
  permuted: permutedSubset,
  rendezvous: rendezvousSubset,
};
const rows = SIZES.flatMap((shape) =>
  Object.entries(WAYS)
    .filter(([way]) => way !== 'rendezvous' || shape.callers * shape.targets <= 1_000_000)
    .map(([way, choose]) => ({ ...shape, way, ...measure(choose, shape) })),
);
console.table(rows);
