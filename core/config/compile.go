package config

import "tanagerchute/core/routes"

// Compile returns the routing table of a document that Parse has returned. Its
// rules match requests whose host is the name of the service.
func (d *Document) Compile() (*routes.Table, error) {
	b := routes.NewBuilder()
	b.SetAccounts(d.directory)
	for _, s := range d.Services {
		b.AddService(routes.Service{Name: s.Name, Calls: s.Calls})
	}
	for _, s := range d.Services {
		for _, c := range s.Classes {
			if err := c.compile(b, s.Name); err != nil {
				return nil, err
			}
		}
	}
	return b.Build(), nil
}

// compile adds the route of the class and a rule for each of its matches to b.
func (c Class) compile(b *routes.Builder, service string) error {
	r := &routes.Route{
		Name:          c.Name,
		Destinations:  []routes.Destination{{Service: service, Weight: 1}},
		Priority:      c.Priority(),
		AtMostOnce:    c.AtMostOnce,
		TargetLatency: c.AnswerWithin.Std(),
		Timeout:       c.AnswerWithin.Std(),
		MaxQueueTime:  c.MayWait.Std(),
		Anonymous:     c.Anonymous,
	}
	for _, m := range c.Match {
		if err := b.AddRule(routes.Rule{Host: service, Method: m.Method, Prefix: m.Path, Route: r}); err != nil {
			return err
		}
	}
	return nil
}
