/** Question of an entry for a part of an account's quota. */
export interface QuotaAsk {
  readonly account: string;
  /** Requests that wait. */
  readonly need: number;
  /** Requests that the entry expects before the part lapses. */
  readonly ahead: number;
  /** Parts of earlier answers that have lapsed unused. */
  readonly unused: number;
}

export type QuotaAnswer =
  /** `roomInMs` is the time until there is room again; it counts if less than the need is granted. */
  | { readonly kind: 'granted'; readonly count: number; readonly roomInMs: number }
  /** The daemon hands out nothing now; the entry is to ask again, perhaps another daemon. */
  | { readonly kind: 'deferred'; readonly forMs: number }
  /** The daemon cannot be a home yet; another one may take its place. */
  | { readonly kind: 'unready'; readonly forMs: number };
