import { z } from 'zod';

const name = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/);
const ipAddress = z.union([z.ipv4(), z.ipv6()], { error: 'expected an IPv4 or IPv6 address' });
const port = z.int().min(0).max(65_535);

export const tlsSettingsSchema = z.strictObject({
  keyFile: z.string().min(1),
  certificateFile: z.string().min(1),
  authorityFile: z.string().min(1),
});

const listenerSchema = z.strictObject({ address: ipAddress, port });

const secureListenerSchema = listenerSchema.extend({
  tls: tlsSettingsSchema.optional(),
  /** Declares the network trusted; required to bind a non-loopback address without TLS. */
  trustedNetwork: z.boolean().default(false),
});

const peerAddressSchema = z.strictObject({ address: ipAddress, port: z.int().min(1).max(65_535) });

export const daemonSettingsSchema = z.strictObject({
  /** Unique in the fleet and stable across restarts. */
  name,
  /** Daemons of different clusters ignore each other. */
  cluster: name,
  service: name,
  dataCentre: name,
  region: name,
  /** Maximum number of concurrent calls that the target accepts. */
  slots: z.int().min(1).max(100_000),
  /** Maximum number of connections that the target accepts. */
  connections: z.int().min(1).max(1_000_000),
  /** Address advertised to peers; defaults to the peer listener's, so set it if that is a wildcard. */
  advertisedAddress: ipAddress.optional(),
  listeners: z.strictObject({
    /** Calls from outside callers. */
    callers: secureListenerSchema,
    /** Announcements and nested calls of the target beside this daemon. */
    local: listenerSchema,
    /** Calls and JSON-RPC from other daemons. */
    peers: secureListenerSchema,
    /** Gossip datagrams. */
    gossip: listenerSchema,
    /** Administration API. */
    admin: secureListenerSchema,
  }),
  store: z.strictObject({
    endpoints: z.array(z.url()).max(16),
    timeoutMs: z.int().min(10).max(60_000).default(1_000),
  }),
  /** Gossip addresses used to join while the store is unavailable. */
  seeds: z.array(peerAddressSchema).max(64).default([]),
  /** File with the shared key that signs gossip datagrams and tickets. */
  clusterKeyFile: z.string().min(1).optional(),
  /** Certificate names of operators that may change policies; empty allows any verified one. */
  operators: z.array(z.string().min(1)).max(1_000).default([]),
  limits: z
    .strictObject({
      maxHeaderBytes: z.int().min(1_024).max(262_144).default(16_384),
      maxBodyBytes: z.int().min(0).max(1_073_741_824).default(16_777_216),
      /** Bodies up to this length are buffered, so that an idempotent call can be retried. */
      maxHeldBodyBytes: z.int().min(0).max(1_048_576).default(16_384),
      maxCallerConnections: z.int().min(1).max(1_000_000).default(10_000),
      recordBytes: z.int().min(1_024).max(1_073_741_824).default(33_554_432),
      idleTimeoutMs: z.int().min(100).max(600_000).default(60_000),
    })
    .prefault({}),
  timeline: z
    .strictObject({
      ringEvents: z.int().min(16).max(1_000_000).default(8_192),
      /** Share of root requests whose events are recorded; state changes are always recorded. */
      sampleRatio: z.number().min(0).max(1).default(0.01),
    })
    .prefault({}),
  /** `passThrough` disables all decisions; used as the baseline of benchmarks. */
  mode: z.enum(['full', 'passThrough']).default('full'),
  /** Disabled mechanisms, to measure the contribution of each. */
  disabledMechanisms: z.array(z.string()).max(32).default([]),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
});

export type DaemonSettings = Readonly<z.infer<typeof daemonSettingsSchema>>;
/** The settings as written in the file, before defaults are applied. */
export type DaemonSettingsInput = z.input<typeof daemonSettingsSchema>;
export type TlsSettings = Readonly<z.infer<typeof tlsSettingsSchema>>;
