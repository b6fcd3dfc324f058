import type { TimelineEnvironment } from './environment';
import { readJsonLines } from './json-lines';
import { mergeTimelines } from './merge-timelines';
import { renderTimeline, type TimelineFormatName } from './render';
import { selectEvents, type Selection } from './selection';
import { TimelineInputError } from './timeline-input-error';

export interface ShowOptions {
  readonly files: readonly string[];
  readonly out: string | undefined;
  readonly format: TimelineFormatName;
  readonly selection: Selection;
}

/** Merges files of JSON lines and writes a selection of their events. */
export function runShow(options: ShowOptions, environment: TimelineEnvironment): void {
  const events = options.files.flatMap((file) => {
    const read = readJsonLines(environment.readFile(file));
    if (!read.ok) throw new TimelineInputError(`${file}: line ${read.line}: ${read.problem}`);
    return read.events;
  });
  const merged = selectEvents(mergeTimelines(events), options.selection);
  const text = renderTimeline(merged, options.format);
  if (options.out === undefined) environment.writeOutput(text);
  else environment.writeFile(options.out, text);
}
