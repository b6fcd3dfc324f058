import type { LoadReport, PhaseReport } from './report';
import { tableText } from './table';

type TableRow = readonly [label: string, read: (phase: PhaseReport) => string];

function formatPercent(value: number): string {
  return `${(value * 100).toFixed(2)} %`;
}

function formatInteger(value: number): string {
  return value.toFixed(0);
}

const TABLE_ROWS: readonly TableRow[] = [
  ['requests offered', (phase) => formatInteger(phase.offeredRequests)],
  ['requests completed', (phase) => formatInteger(phase.completedRequests)],
  [
    'capacity of the slowest service, requests/s',
    (phase) => formatInteger(phase.capacityRequestsPerSecond),
  ],
  ['goodput of whole requests ÷ capacity', (phase) => formatPercent(phase.goodputRatio)],
  ['money requests offered', (phase) => formatInteger(phase.moneyOffered)],
  ['money requests completed', (phase) => formatPercent(phase.moneyCompletedRatio)],
  [
    'recovery time, ms',
    ({ recoveryTimeMs }) => (recoveryTimeMs === null ? 'never' : formatInteger(recoveryTimeMs)),
  ],
  ['double executions of money calls', (phase) => formatInteger(phase.duplicateExecutions)],
  ['false not-run', (phase) => formatInteger(phase.falseNotRun)],
  ['crossed answers', (phase) => formatInteger(phase.crossedAnswers)],
  ['cut answers', (phase) => formatInteger(phase.cutAnswers)],
  [
    'most retries of one request (bound)',
    (phase) => `${phase.maxRetriesPerRequest} (${phase.retryBound})`,
  ],
  ['new work after a drain', (phase) => formatInteger(phase.workAfterDrain)],
  ['requests cut by a drain', (phase) => formatInteger(phase.cutByDrain)],
  ['wasted slot time, s', (phase) => formatInteger(phase.wastedSlotMs / 1_000)],
  ["load generator's delay p99, ms", (phase) => phase.generatorDelayP99Ms.toFixed(1)],
];

/** Formats the figures of a run as a table for the terminal. */
export function reportTable(report: LoadReport): string {
  const { system, baseline } = report;
  const heading = [`${report.deployment} ${report.scenario} seed ${report.seed}`, 'system'];
  if (baseline !== null) heading.push('baseline');
  const rows = TABLE_ROWS.map(([label, read]) => {
    const row = [label, read(system)];
    if (baseline !== null) row.push(read(baseline));
    return row;
  });
  return tableText([heading, ...rows]);
}
