import type { ScaleReport } from '@daisyferry/membership/measure/scale-report';
import { tableText } from './table';

/** Costs of control for the costliest daemon over one span of a run. */
export interface ControlCost {
  readonly controlBytesPerSecond: number;
  readonly controlCpuRatio: number;
}

/** Results of the scenarios that load the control plane and make no calls. */
export interface FleetFigures {
  readonly daemons: number;
  readonly members: number;
  readonly changes: number;
  readonly changesAccepted: number;
  /** From the start of the operator's call until the daemon applies the revision; null if unmeasured. */
  readonly propagationP50Ms: number | null;
  readonly propagationP99Ms: number | null;
  /** Null also if a daemon never applied an accepted change. */
  readonly propagationMaxMs: number | null;
  /** From the kill until the last survivor takes the last killed daemon for lost; null if never. */
  readonly detectionMaxMs: number | null;
  /** Median over the pairs of a survivor and a killed daemon; null if unmeasured. */
  readonly detectionP50Ms: number | null;
  /** Pairs in which the survivor noticed nothing. */
  readonly detectionMissing: number;
  /** Times that a daemon applied a lower revision than before. */
  readonly revertedRevisions: number;
  readonly storeReads: number;
  readonly storeWrites: number;
  /** Sent plus received, of the costliest daemon in the costliest span. */
  readonly controlBytesPerSecond: number;
  readonly controlCpuRatio: number;
  readonly controlMemoryBytes: number;
  /** The costliest daemon in each span of the run. */
  readonly spans: Readonly<Record<string, ControlCost>>;
}

export interface FleetReport {
  readonly scenario: string;
  readonly deployment: string;
  readonly seed: number;
  readonly fleet: FleetFigures;
  /** Details of the measurement of one daemon among many members. */
  readonly scale?: ScaleReport;
}

/** The figures as people read them on the terminal. */
export function fleetTable(report: FleetReport): string {
  const { spans, ...figures } = report.fleet;
  const rows = Object.entries(figures).map(([name, value]) => [
    name,
    typeof value === 'number' && !Number.isInteger(value) ? value.toFixed(4) : String(value),
  ]);
  const spanRows = Object.entries(spans).map(([name, cost]) => [
    `${name}: bytes/s, CPU share`,
    `${cost.controlBytesPerSecond.toFixed(0)}, ${cost.controlCpuRatio.toFixed(4)}`,
  ]);
  const scaleRows = Object.entries(report.scale ?? {}).map(([name, value]) => [
    `scale: ${name}`,
    String(value),
  ]);
  return tableText([[report.scenario, 'measured'], ...rows, ...spanRows, ...scaleRows]);
}
