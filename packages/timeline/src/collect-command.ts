import type { Scheduler } from '@daisyferry/model/scheduler';
import { Collector, type CollectionRound } from './collector';
import type { TimelineEnvironment, TlsOptions } from './environment';
import { TimelineExitCode, type TimelineExitCodeNumber } from './exit-code';
import { mergeTimelines } from './merge-timelines';
import { renderTimeline, type TimelineFormatName } from './render';
import { selectEvents, type Selection } from './selection';
import { TimelineInputError } from './timeline-input-error';
import { TimelineReader } from './timeline-reader';

export interface CollectOptions {
  readonly admin: readonly string[];
  readonly out: string | undefined;
  readonly format: TimelineFormatName;
  readonly selection: Selection;
  /** Keeps reading for this time; 0 reads once. */
  readonly forMs: number;
  readonly intervalMs: number;
  readonly timeoutMs: number;
  readonly maxEvents: number;
  readonly tls: TlsOptions;
}

function parseOrigin(admin: string): string {
  if (!URL.canParse(admin))
    throw new TimelineInputError(`--admin: found '${admin}': expected a URL`);
  return new URL(admin).origin;
}

async function delay(
  scheduler: Scheduler,
  delayMs: number,
  stopSignal: AbortSignal,
): Promise<void> {
  if (stopSignal.aborted) return;
  let finish = (): void => undefined;
  const finished = new Promise<void>((resolve) => {
    finish = resolve;
  });
  const timer = scheduler.after(delayMs, finish);
  stopSignal.addEventListener('abort', finish);
  await finished;
  timer.cancel();
  stopSignal.removeEventListener('abort', finish);
}

function writeRoundSummary(
  { events, lost, problems }: CollectionRound,
  environment: TimelineEnvironment,
): void {
  for (const { admin, problem } of problems) environment.writeError(`${admin}: ${problem}\n`);
  if (lost > 0) environment.writeError(`${lost} events were dropped before they were read\n`);
  environment.writeError(`${events} events read\n`);
}

/** Reads until the time is up, the collector is full or the process is stopped. */
async function collectRounds(
  collector: Collector,
  options: CollectOptions,
  environment: TimelineEnvironment,
): Promise<boolean> {
  const { scheduler, stopSignal } = environment;
  const endAtMs = scheduler.nowMs() + options.forMs;
  let anyDaemonReached = false;
  for (;;) {
    const round = await collector.collectRound();
    anyDaemonReached ||= round.problems.length < options.admin.length;
    writeRoundSummary(round, environment);
    const isTimeUp = scheduler.nowMs() + options.intervalMs > endAtMs;
    if (isTimeUp || stopSignal.aborted || collector.isFull) return anyDaemonReached;
    await delay(scheduler, options.intervalMs, stopSignal);
  }
}

/** Collects events from the given daemons and writes them in merged order. */
export async function runCollect(
  options: CollectOptions,
  environment: TimelineEnvironment,
): Promise<TimelineExitCodeNumber> {
  const { timeoutMs, maxEvents, format, selection, out } = options;
  const admins = options.admin.map(parseOrigin);
  const dispatcher = environment.createDispatcher(options.tls);
  const readers = admins.map((admin) => new TimelineReader({ admin, dispatcher, timeoutMs }));
  const collector = new Collector(readers, maxEvents);
  const anyDaemonReached = await collectRounds(collector, options, environment);
  await dispatcher.close();
  if (!anyDaemonReached) return TimelineExitCode.unreachable;
  const merged = selectEvents(mergeTimelines(collector.events), selection);
  const text = renderTimeline(merged, format);
  if (out === undefined) environment.writeOutput(text);
  else environment.writeFile(out, text);
  return TimelineExitCode.ok;
}
