/** What a daemon's metrics say of its configuration. */
export interface ConfigurationAge {
  readonly version: number | undefined;
  /** Age of the proof that the version is in force; undefined without a proof. */
  readonly ageMs: number | undefined;
  /** Requests that were not attributed to a client account, by the cause. */
  readonly unidentified: Readonly<Record<string, number>>;
}

const SAMPLE_PATTERN = /^(\w+)(?:\{cause="(\w+)"\})? (\S+)$/;

/** Reads the figures from metrics in the Prometheus text format; other lines are ignored. */
export function parseConfigurationAge(metrics: string): ConfigurationAge {
  let version: number | undefined;
  let ageMs: number | undefined;
  const unidentified: Record<string, number> = {};
  for (const line of metrics.split('\n')) {
    const [, name, cause, text] = SAMPLE_PATTERN.exec(line) ?? [];
    const value = Number(text);
    if (Number.isFinite(value)) {
      if (name === 'daisyferry_configuration_version') version = value;
      if (name === 'daisyferry_configuration_age_ms') ageMs = value;
      if (name === 'daisyferry_requests_unidentified_total' && cause !== undefined) {
        unidentified[cause] = value;
      }
    }
  }
  return { version, ageMs, unidentified };
}
