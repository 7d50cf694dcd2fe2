"""Control of fabric domains: planning, placement and repair of groups, orders to engines."""
