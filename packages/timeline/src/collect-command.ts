import type { Scheduler } from '@daisyferry/model/scheduler';
import { Collector, type CollectReport } from './collector';
import type { TimelineEnvironment, TlsOptions } from './environment';
import { ExitCode, type ExitCodeNumber } from './exit-code';
import { InputError } from './input-error';
import { mergeTimelines } from './merge-timelines';
import { renderTimeline, type TimelineFormatName } from './render';
import { selectEvents, type Selection } from './selection';
import { TimelineReader } from './timeline-reader';

export interface CollectOptions {
  readonly admin: readonly string[];
  readonly out: string | undefined;
  readonly format: TimelineFormatName;
  readonly selection: Selection;
  /** Reads again until this much time has passed; 0 to read once. */
  readonly forMs: number;
  readonly intervalMs: number;
  readonly timeoutMs: number;
  readonly maxEvents: number;
  readonly tls: TlsOptions;
}

function originOf(admin: string): string {
  if (!URL.canParse(admin)) throw new InputError(`--admin: found '${admin}': expected a URL`);
  return new URL(admin).origin;
}

async function wait(scheduler: Scheduler, delayMs: number, stop: AbortSignal): Promise<void> {
  if (stop.aborted) return;
  let finish = (): void => undefined;
  const finished = new Promise<void>((resolve) => {
    finish = resolve;
  });
  const timer = scheduler.after(delayMs, finish);
  stop.addEventListener('abort', finish);
  await finished;
  timer.cancel();
  stop.removeEventListener('abort', finish);
}

function report({ events, lost, problems }: CollectReport, environment: TimelineEnvironment): void {
  for (const { admin, problem } of problems) environment.writeError(`${admin}: ${problem}\n`);
  if (lost > 0) environment.writeError(`${lost} events were dropped before they were read\n`);
  environment.writeError(`${events} events read\n`);
}

/** Reads until the time is over, the collector is full or the process is asked to end. */
async function collectAll(
  collector: Collector,
  options: CollectOptions,
  environment: TimelineEnvironment,
): Promise<boolean> {
  const { scheduler, stop } = environment;
  const untilMs = scheduler.nowMs() + options.forMs;
  let reached = false;
  for (;;) {
    const round = await collector.collect();
    reached ||= round.problems.length < options.admin.length;
    report(round, environment);
    const over = scheduler.nowMs() + options.intervalMs > untilMs;
    if (over || stop.aborted || collector.isFull) return reached;
    await wait(scheduler, options.intervalMs, stop);
  }
}

/** Collects the events of the named daemons and writes them in merged order. */
export async function runCollect(
  options: CollectOptions,
  environment: TimelineEnvironment,
): Promise<ExitCodeNumber> {
  const { timeoutMs, maxEvents, format, selection, out } = options;
  const admins = options.admin.map(originOf);
  const dispatcher = environment.connect(options.tls);
  const readers = admins.map((admin) => new TimelineReader({ admin, dispatcher, timeoutMs }));
  const collector = new Collector(readers, maxEvents);
  const reached = await collectAll(collector, options, environment);
  await dispatcher.close();
  if (!reached) return ExitCode.unreachable;
  const merged = selectEvents(mergeTimelines(collector.events), selection);
  const text = renderTimeline(merged, format);
  if (out === undefined) environment.writeOutput(text);
  else environment.writeFile(out, text);
  return ExitCode.ok;
}
