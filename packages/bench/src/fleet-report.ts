import type { ScaleReport } from '@daisyferry/membership/measure/scale-report';
import { tableText } from './table';

/** Highest control plane cost of any daemon in one span of a run. */
export interface ControlCost {
  readonly controlBytesPerSecond: number;
  readonly controlCpuRatio: number;
}

/** Results of the scenarios that measure the control plane without calls. */
export interface FleetFigures {
  readonly daemons: number;
  readonly members: number;
  readonly changes: number;
  readonly changesAccepted: number;
  /**
   * From the start of the operator's call until a daemon applies the revision; null if not
   * measured.
   */
  readonly propagationP50Ms: number | null;
  readonly propagationP99Ms: number | null;
  /** Also null if a daemon never applied an accepted change. */
  readonly propagationMaxMs: number | null;
  /**
   * From the kill until every survivor suspects every killed daemon or marks it dead; null if
   * never.
   */
  readonly detectionMaxMs: number | null;
  /** Median over the pairs of a survivor and a killed daemon; null if not measured. */
  readonly detectionP50Ms: number | null;
  /** Pairs in which the survivor did not detect the failure. */
  readonly detectionMissing: number;
  /** Number of times that a daemon applied a lower revision than before. */
  readonly revertedRevisions: number;
  readonly storeReads: number;
  readonly storeWrites: number;
  /** Sent plus received, highest of any daemon in any span. */
  readonly controlBytesPerSecond: number;
  readonly controlCpuRatio: number;
  readonly controlMemoryBytes: number;
  /** Highest cost of any daemon in each span of the run. */
  readonly spans: Readonly<Record<string, ControlCost>>;
}

export interface FleetReport {
  readonly scenario: string;
  readonly deployment: string;
  readonly seed: number;
  readonly fleet: FleetFigures;
  /** Details of the scenario that measures one daemon in a large cluster. */
  readonly scale?: ScaleReport;
}

/** Formats the figures as a table for the terminal. */
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
