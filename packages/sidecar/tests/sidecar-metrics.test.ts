import { SidecarMetrics } from '@daisyferry/sidecar/sidecar-metrics';
import { describe, expect, it } from 'vitest';

const ROUTES = 5_000;
/** Far above the lines of 512 routes, four quantiles and an outcome each. */
const MAX_LINES = 4_000;

function recordRoutes(metrics: SidecarMetrics, prefix: string): void {
  for (let route = 0; route < ROUTES; route += 1)
    metrics.recordRequest(`${prefix}-${route}`, 'answered', route);
}

describe('SidecarMetrics', () => {
  it('has a bounded number of series although routes come and go', () => {
    const metrics = new SidecarMetrics();
    for (const prefix of ['first', 'second', 'third']) recordRoutes(metrics, prefix);
    const text = metrics.render();
    expect(text.split('\n').length).toBeLessThan(MAX_LINES);
    const counts = [...text.matchAll(/^daisyferry_requests_total\{.*\} (\d+)$/gm)];
    expect(counts.reduce((sum, [, count]) => sum + Number(count), 0)).toBe(3 * ROUTES);
    expect(text).toContain('daisyferry_requests_total{route="first-0",outcome="answered"} 1');
    expect(text).toMatch(/daisyferry_requests_total\{route="other",outcome="answered"\} \d{5}/);
  });

  it('gives a new route series of its own once others are unused', () => {
    const metrics = new SidecarMetrics();
    recordRoutes(metrics, 'old');
    for (let count = 0; count < 110_000; count += 1) metrics.recordRequest('busy', 'answered', 1);
    metrics.recordRequest('new', 'answered', 1);
    const text = metrics.render();
    expect(text).toContain('daisyferry_requests_total{route="new",outcome="answered"} 1');
    expect(text).not.toContain('route="old-0"');
  });
});
