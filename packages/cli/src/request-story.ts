/** One log line of a daemon that names a request. */
export interface LogLine {
  readonly time: number;
  readonly node: string;
  readonly msg: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const FRAME_FIELDS = new Set(['level', 'time', 'node', 'msg', 'requestId']);

function parseLine(line: string): LogLine | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(line.slice(start));
  } catch {
    // Other programs write to the same output; what is no JSON is no line of a daemon.
    return undefined;
  }
  const { time, node, msg } = value as Partial<LogLine>;
  if (typeof time !== 'number' || typeof node !== 'string' || typeof msg !== 'string') {
    return undefined;
  }
  const entries = Object.entries(value as object).filter(([name]) => !FRAME_FIELDS.has(name));
  return { time, node, msg, fields: Object.fromEntries(entries) };
}

/** The lines of a request in order of time; `text` holds the logs of any number of daemons. */
export function requestStory(text: string, requestId: string): readonly LogLine[] {
  const marker = `"requestId":${JSON.stringify(requestId)}`;
  return text
    .split('\n')
    .filter((line) => line.includes(marker))
    .flatMap((line) => parseLine(line) ?? [])
    .sort((left, right) => left.time - right.time);
}

/** One line of text for each log line. */
export function storyText(lines: readonly LogLine[]): string {
  return lines
    .map(({ time, node, msg, fields }) => {
      const details = Object.entries(fields)
        .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
        .join(' ');
      return `${new Date(time).toISOString()} ${node} ${msg} ${details}`;
    })
    .join('\n');
}
