/** Sum of one metric over the labels and the daemons of a service. */
export interface MetricSample {
  readonly name: string;
  readonly service: string;
  readonly value: number;
}

const LINE_PATTERN = /^([a-z_:][a-z0-9_:]*)(?:\{[^}]*\})? ([0-9.eE+-]+)$/i;

/** Sums the samples of the Prometheus text format by metric name and service. */
export function sumByService(
  texts: readonly { readonly service: string; readonly text: string }[],
): readonly MetricSample[] {
  const sums = new Map<string, MetricSample>();
  for (const { service, text } of texts) {
    for (const line of text.split('\n')) {
      const match = LINE_PATTERN.exec(line);
      if (match === null) continue;
      const [, name = '', value = '0'] = match;
      const key = `${service} ${name}`;
      const sum = (sums.get(key)?.value ?? 0) + Number(value);
      sums.set(key, { name, service, value: sum });
    }
  }
  return [...sums.values()];
}
