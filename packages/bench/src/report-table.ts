import type { LoadReport, PhaseReport } from './report';
import { tableText } from './table';

type Field = readonly [label: string, read: (phase: PhaseReport) => string];

function share(value: number): string {
  return `${(value * 100).toFixed(2)} %`;
}

function whole(value: number): string {
  return value.toFixed(0);
}

const FIELDS: readonly Field[] = [
  ['requests offered', (phase) => whole(phase.offeredRequests)],
  ['requests completed', (phase) => whole(phase.completedRequests)],
  [
    'capacity of the slowest service, requests/s',
    (phase) => whole(phase.capacityRequestsPerSecond),
  ],
  ['goodput of whole requests ÷ capacity', (phase) => share(phase.goodputRatio)],
  ['money requests offered', (phase) => whole(phase.moneyOffered)],
  ['money requests completed', (phase) => share(phase.moneyCompletedRatio)],
  [
    'recovery time, ms',
    ({ recoveryTimeMs }) => (recoveryTimeMs === null ? 'never' : whole(recoveryTimeMs)),
  ],
  ['double executions of money calls', (phase) => whole(phase.duplicateExecutions)],
  ['false not-run', (phase) => whole(phase.falseNotRun)],
  ['crossed answers', (phase) => whole(phase.crossedAnswers)],
  ['cut answers', (phase) => whole(phase.cutAnswers)],
  [
    'most retries of one request (bound)',
    (phase) => `${phase.maxRetriesPerRequest} (${phase.retryBound})`,
  ],
  ['new work after a drain', (phase) => whole(phase.workAfterDrain)],
  ['requests cut by a drain', (phase) => whole(phase.cutByDrain)],
  ['wasted slot time, s', (phase) => whole(phase.wastedSlotMs / 1_000)],
  ["load generator's delay p99, ms", (phase) => phase.generatorDelayP99Ms.toFixed(1)],
];

/** The figures of a run as people read them on the terminal. */
export function reportTable(report: LoadReport): string {
  const { system, baseline } = report;
  const heading = [`${report.deployment} ${report.scenario} seed ${report.seed}`, 'system'];
  if (baseline !== null) heading.push('baseline');
  const rows = FIELDS.map(([label, read]) => {
    const row = [label, read(system)];
    if (baseline !== null) row.push(read(baseline));
    return row;
  });
  return tableText([heading, ...rows]);
}
