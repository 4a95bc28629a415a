/** The operator's configuration with one route, in the form that `fleetbench wire` shows. */
export const createConfig = ({ host, service, prefix, kind, timeoutMs }) => ({
  version: 'r7',
  routes: [{ name: 'r-1', host, path_prefix: prefix, kind, timeout: `${timeoutMs}ms`, target_latency: '2000ms', priority: 1, service, max_attempts: 2 }],
  services: [{ name: service, health_path: '/health', max_connections: 390, protocol: 'h1', tls: false }],
  limits: { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout: '3000ms', idle_timeout: '15000ms' }
})
