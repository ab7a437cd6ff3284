/**
 * The two deployments that the tools measure, at their real sizes.
 * @module
 */

/** One service of a deployment. */
export interface ServiceSize {
  readonly service: string;
  readonly endpoints: number;
  /** Path of a route whose calls may be retried. */
  readonly read: string;
  /** Path of a route whose calls may not be retried. */
  readonly write: string;
}

export interface Deployment {
  readonly name: string;
  readonly region: string;
  readonly domains: readonly string[];
  readonly services: readonly ServiceSize[];
  /** Highest number of calls that an endpoint runs at once. */
  readonly slots: number;
  /** Highest number of connections that an endpoint accepts. */
  readonly connections: number;
}

/** The Caribbean Edge Sharpeners Guild. */
export const GUILD: Deployment = {
  name: "guild",
  region: "jm-south",
  domains: ["jm-south-a", "jm-south-b", "jm-south-c", "jm-south-d"],
  services: [
    { service: "tracker", endpoints: 4, read: "/parcels", write: "/parcels" },
    { service: "bookings", endpoints: 4, read: "/jobs", write: "/payments" },
    { service: "intake", endpoints: 4, read: "/photos", write: "/photos" },
  ],
  slots: 6,
  connections: 100,
};

/** Veldhuis Hosting. */
export const VELDHUIS: Deployment = {
  name: "veldhuis",
  region: "nl-west",
  domains: ["nl-west-a", "nl-west-b", "nl-west-c"],
  services: [
    { service: "portaal", endpoints: 6, read: "/accounts", write: "/renewals" },
    {
      service: "facturatie",
      endpoints: 4,
      read: "/invoices",
      write: "/payments",
    },
    { service: "opslag", endpoints: 3, read: "/archives", write: "/archives" },
  ],
  slots: 20,
  connections: 130,
};

export const DEPLOYMENTS: readonly Deployment[] = [GUILD, VELDHUIS];
