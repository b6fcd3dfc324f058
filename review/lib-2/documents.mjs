export const HOST = 'desk.example';

/** One route of the operator's configuration. */
export function rule(name, prefix, service, options = {}) {
  const {
    kind = 'safe',
    priority = 2,
    targetLatency = '1200ms',
    timeout = '5s',
    maxAttempts = 2,
  } = options;
  return {
    name,
    kind,
    targetLatency,
    priority,
    match: { prefix },
    action: { service, timeout, maxAttempts },
  };
}

/** The operator's configuration with these routes. */
export function configuration(version, services, rules) {
  return {
    version,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeout: '3000ms',
      idleTimeout: '15s',
    },
    listeners: [{ host: HOST, rules }],
    clusters: services.map((name) => ({ name, healthPath: '/health', maxConnections: 1_264 })),
  };
}
