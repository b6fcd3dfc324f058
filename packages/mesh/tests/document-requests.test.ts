import { DocumentRequests } from '@daisyferry/mesh/document-requests';
import { describe, expect, it } from 'vitest';

describe('DocumentRequests', () => {
  it('requests a version that many peers report from one at a time', () => {
    const requests = new DocumentRequests();
    expect(requests.shouldRequest(7, true, 0)).toBe(true);
    for (let nowMs = 1; nowMs < 400; nowMs += 10)
      expect(requests.shouldRequest(7, true, nowMs)).toBe(false);
    expect(requests.shouldRequest(7, true, 400)).toBe(true);
  });

  it('requests a still newer version at once', () => {
    const requests = new DocumentRequests();
    requests.shouldRequest(7, true, 0);
    expect(requests.shouldRequest(8, true, 1)).toBe(true);
  });

  it('prefers the own data centre, but not for long', () => {
    const requests = new DocumentRequests();
    expect(requests.shouldRequest(7, false, 0)).toBe(false);
    expect(requests.shouldRequest(7, false, 200)).toBe(false);
    expect(requests.shouldRequest(7, false, 250)).toBe(true);
    const others = new DocumentRequests();
    others.shouldRequest(7, false, 0);
    expect(others.shouldRequest(7, true, 10)).toBe(true);
  });

  it('requests from another data centre although newer versions follow each other quickly', () => {
    const requests = new DocumentRequests();
    let requested = 0;
    for (let nowMs = 0; nowMs < 1_000; nowMs += 100)
      if (requests.shouldRequest(10 + nowMs, false, nowMs)) requested += 1;
    expect(requested).toBeGreaterThanOrEqual(2);
  });
});
