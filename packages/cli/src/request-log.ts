/** One log line of a daemon for a request. */
export interface LogLine {
  readonly time: number;
  readonly node: string;
  readonly msg: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that `LogLine.fields` leaves out. */
const OMITTED_LOG_FIELDS = new Set(['level', 'time', 'node', 'msg', 'requestId']);

function parseLogLine(line: string): LogLine | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(line.slice(start));
  } catch {
    // Other programs write to the same output; lines that are not JSON are skipped.
    return undefined;
  }
  const { time, node, msg } = value as Partial<LogLine>;
  if (typeof time !== 'number' || typeof node !== 'string' || typeof msg !== 'string') {
    return undefined;
  }
  const entries = Object.entries(value as object).filter(([name]) => !OMITTED_LOG_FIELDS.has(name));
  return { time, node, msg, fields: Object.fromEntries(entries) };
}

/** Finds the log lines of a request in the logs of one or more daemons and sorts them by time. */
export function findRequestLogLines(text: string, requestId: string): readonly LogLine[] {
  const marker = `"requestId":${JSON.stringify(requestId)}`;
  return text
    .split('\n')
    .filter((line) => line.includes(marker))
    .flatMap((line) => parseLogLine(line) ?? [])
    .sort((left, right) => left.time - right.time);
}

/** Formats each log line as one line of text. */
export function formatLogLines(lines: readonly LogLine[]): string {
  return lines
    .map(({ time, node, msg, fields }) => {
      const details = Object.entries(fields)
        .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
        .join(' ');
      return `${new Date(time).toISOString()} ${node} ${msg} ${details}`;
    })
    .join('\n');
}
